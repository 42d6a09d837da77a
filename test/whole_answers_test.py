"""Callers get the complete answer to their own request, or a clear error, whichever way engines fail."""

import http.client
import os
import unittest

from harness.fleet import Fleet, is_complete, streamed_text
from harness.processes import BackgroundTask, wait_until

ENGINES = ("kovacic-engine-1", "kovacic-engine-2")
CLEAR_STATES = ("not_run", "outcome_unknown", "ran")


class EnginesCase(unittest.TestCase):
    """A zone with two engines and concurrent callers."""

    def setUp(self):
        self.fleet = self.enterContext(Fleet(os.environ["TESTED_BUILD"]))
        # Each engine has enough slots for all requests of a test.
        self.fleet.start_one_zone("vm-1", engines=2, cold_slots=16)
        # A server's new owner issues no permits until those of a previous owner have expired, and the engines are
        # discovered one after the other. Only an engine that has run a request has all its slots available.
        wait_until(self.all_engines_run, "each engine to run a request")

    def all_engines_run(self):
        self.ask("Is anyone there?", False)
        return all(self.fleet.counts(engine)["runs"] for engine in ENGINES)

    def on_all_engines(self, **faults):
        for engine in ENGINES:
            self.fleet.faults(engine, **faults)

    def ask_at_once(self, prompts):
        """Sends all prompts concurrently, every other one streamed. Returns pairs of prompt and answer."""
        callers = [
            (prompt, BackgroundTask(lambda prompt=prompt, stream=index % 2 == 0: self.ask(prompt, stream)))
            for index, prompt in enumerate(prompts)
        ]
        answers = []
        for prompt, caller in callers:
            answer = caller.wait()
            self.assertIsNone(caller.problem, f"{prompt}: {caller.problem!r}")
            answers.append((prompt, answer))
        return answers

    def ask(self, prompt, stream):
        answer = self.fleet.run_chat("vm-1", prompt, stream=stream)
        answer.streamed = stream
        return answer

    def is_own_and_whole(self, prompt, answer):
        if answer.status != 200:
            return False
        if not answer.streamed:
            return is_complete(answer, prompt)
        text = streamed_text(answer)
        return text is not None and text.startswith("[") and text.endswith(" " + prompt + "]")

    def check_own_or_clear(self, prompt, answer):
        if self.is_own_and_whole(prompt, answer):
            return
        self.assertNotIn("[DONE]", answer.body, "an incomplete answer has an end mark")
        if answer.status == 200:
            self.assertTrue(answer.streamed, "a complete answer to another request: " + answer.body)
            self.assertIn('"error":', answer.body, "a stream ended without an end mark or error")
            return
        self.assertIn(answer.error()["ran"], CLEAR_STATES)

    def crash(self, engine):
        """Crashes an engine. The crash may prevent the answer to this call, so the restart is awaited then."""
        try:
            self.fleet.faults(engine, crash=True)
        except (OSError, http.client.HTTPException):
            wait_until(lambda: self.is_back(engine), "the engine to restart")

    def is_back(self, engine):
        try:
            return self.fleet.counts(engine)["crashes"] == 1
        except (OSError, http.client.HTTPException):
            return False

    def started(self):
        return sum(len(self.fleet.counts(engine)["runs"]) for engine in ENGINES)

    def prompts(self, count=8):
        return [f"question {number} of this test" for number in range(count)]


class WhenStreamsBreak(EnginesCase):
    def test_answers_are_resumed_on_the_other_engine_and_are_complete(self):
        self.fleet.faults(ENGINES[0], break_stream_after=4)
        for prompt, answer in self.ask_at_once(self.prompts()):
            self.assertTrue(self.is_own_and_whole(prompt, answer), answer.body)

    def test_answers_are_complete_or_clear_errors_when_every_stream_breaks(self):
        self.on_all_engines(break_stream_after=4)
        for prompt, answer in self.ask_at_once(self.prompts()):
            self.check_own_or_clear(prompt, answer)

    def test_an_answer_without_end_mark_never_counts_as_complete(self):
        self.on_all_engines(no_end=True)
        for prompt, answer in self.ask_at_once(self.prompts(4)):
            self.check_own_or_clear(prompt, answer)


class WhenAnEngineCrashes(EnginesCase):
    def test_its_requests_are_answered_by_the_other_engine(self):
        self.on_all_engines(late_ms=1500)
        before = self.started()
        work = BackgroundTask(lambda: self.ask_at_once(self.prompts()))
        wait_until(lambda: self.started() >= before + 4, "requests on the engines")
        self.crash(ENGINES[0])
        answers = work.wait()
        self.assertIsNone(work.problem, repr(work.problem))
        for prompt, answer in answers:
            self.assertTrue(self.is_own_and_whole(prompt, answer), answer.body)
        wait_until(lambda: self.is_back(ENGINES[0]), "the engine to restart")

    def test_a_request_that_crashes_engines_breaks_no_other_answer(self):
        prompts = ["KILL-SERVER, please", *self.prompts(4)]
        for prompt, answer in self.ask_at_once(prompts):
            self.check_own_or_clear(prompt, answer)
        after = "Is anyone there?"
        wait_until(lambda: self.is_own_and_whole(after, self.ask(after, False)), "the engines to serve again")


class WhenAnswersComeCrossedOrLate(EnginesCase):
    def test_the_answer_of_another_attempt_is_never_delivered(self):
        self.on_all_engines(crossed=True)
        for prompt, answer in self.ask_at_once(self.prompts()):
            self.assertFalse(self.is_own_and_whole(prompt, answer), "the answer of another attempt was delivered")
            self.check_own_or_clear(prompt, answer)
            for other in self.prompts():
                self.assertNotIn(other, answer.body)

    def test_all_answers_are_complete_if_only_one_engine_mixes_up_answers(self):
        self.fleet.faults(ENGINES[0], crossed=True)
        for prompt, answer in self.ask_at_once(self.prompts()):
            self.assertTrue(self.is_own_and_whole(prompt, answer), answer.body)

    def test_late_answers_are_complete(self):
        self.on_all_engines(late_ms=1500)
        for prompt, answer in self.ask_at_once(self.prompts()):
            self.assertTrue(self.is_own_and_whole(prompt, answer), answer.body)


if __name__ == "__main__":
    unittest.main()
