"""Callers get the complete answer to their own request, or a clear error, whichever way engines fail."""

import http.client
import os
import unittest

from harness.fleet import Fleet, is_complete, streamed_text
from harness.processes import BackgroundTask, wait_until

ENGINES = ("kovacic-engine-1", "kovacic-engine-2")
RAN_VALUES = ("not_run", "outcome_unknown", "ran")


class EnginesCase(unittest.TestCase):
    """A zone with two engines and concurrent callers."""

    def setUp(self):
        self.fleet = self.enterContext(Fleet(os.environ["TESTED_BUILD"]))
        # Each engine has enough slots for all requests of a test.
        self.fleet.start_one_zone("vm-1", engines=2, cold_slots=16)
        # A server's new owner issues no permits until those of a previous owner have expired, and the engines are
        # discovered one after the other. Only an engine that has run a request has all its slots available.
        wait_until(self.each_engine_has_run_a_request, "each engine to run a request")

    def each_engine_has_run_a_request(self):
        self.send_chat("Is anyone there?", False)
        return all(self.fleet.counts(engine)["runs"] for engine in ENGINES)

    def set_faults_on_all_engines(self, **faults):
        for engine in ENGINES:
            self.fleet.faults(engine, **faults)

    def send_concurrently(self, prompts):
        """Sends all prompts concurrently, every other one streamed. Returns pairs of prompt and answer."""
        callers = [
            (prompt, BackgroundTask(lambda prompt=prompt, stream=index % 2 == 0: self.send_chat(prompt, stream)))
            for index, prompt in enumerate(prompts)
        ]
        answers = []
        for prompt, caller in callers:
            answer = caller.wait()
            self.assertIsNone(caller.problem, f"{prompt}: {caller.problem!r}")
            answers.append((prompt, answer))
        return answers

    def send_chat(self, prompt, stream):
        answer = self.fleet.run_chat("vm-1", prompt, stream=stream)
        answer.streamed = stream
        return answer

    def is_complete_own_answer(self, prompt, answer):
        if answer.status != 200:
            return False
        if not answer.streamed:
            return is_complete(answer, prompt)
        text = streamed_text(answer)
        return text is not None and text.startswith("[") and text.endswith(" " + prompt + "]")

    def check_complete_or_clear_error(self, prompt, answer):
        if self.is_complete_own_answer(prompt, answer):
            return
        self.assertNotIn("[DONE]", answer.body, "an incomplete answer has an end mark")
        if answer.status == 200:
            self.assertTrue(answer.streamed, "a complete answer to another request: " + answer.body)
            self.assertIn('"error":', answer.body, "a stream ended without an end mark or error")
            return
        self.assertIn(answer.error()["ran"], RAN_VALUES)

    def crash(self, engine):
        """Crashes an engine. The crash may prevent the answer to this call, so the restart is awaited then."""
        try:
            self.fleet.faults(engine, crash=True)
        except (OSError, http.client.HTTPException):
            wait_until(lambda: self.has_restarted(engine), "the engine to restart")

    def has_restarted(self, engine):
        try:
            return self.fleet.counts(engine)["crashes"] == 1
        except (OSError, http.client.HTTPException):
            return False

    def count_started_requests(self):
        return sum(len(self.fleet.counts(engine)["runs"]) for engine in ENGINES)

    def prompts(self, count=8):
        return [f"question {number} of this test" for number in range(count)]


class WhenStreamsBreak(EnginesCase):
    def test_answers_are_resumed_on_the_other_engine_and_are_complete(self):
        self.fleet.faults(ENGINES[0], break_stream_after=4)
        for prompt, answer in self.send_concurrently(self.prompts()):
            self.assertTrue(self.is_complete_own_answer(prompt, answer), answer.body)

    def test_answers_are_complete_or_clear_errors_when_every_stream_breaks(self):
        self.set_faults_on_all_engines(break_stream_after=4)
        for prompt, answer in self.send_concurrently(self.prompts()):
            self.check_complete_or_clear_error(prompt, answer)

    def test_an_answer_without_end_mark_never_counts_as_complete(self):
        self.set_faults_on_all_engines(no_end=True)
        for prompt, answer in self.send_concurrently(self.prompts(4)):
            self.check_complete_or_clear_error(prompt, answer)


class WhenAnEngineCrashes(EnginesCase):
    def test_its_requests_are_answered_by_the_other_engine(self):
        self.set_faults_on_all_engines(late_ms=1500)
        before = self.count_started_requests()
        work = BackgroundTask(lambda: self.send_concurrently(self.prompts()))
        wait_until(lambda: self.count_started_requests() >= before + 4, "requests on the engines")
        self.crash(ENGINES[0])
        answers = work.wait()
        self.assertIsNone(work.problem, repr(work.problem))
        for prompt, answer in answers:
            self.assertTrue(self.is_complete_own_answer(prompt, answer), answer.body)
        wait_until(lambda: self.has_restarted(ENGINES[0]), "the engine to restart")

    def test_a_request_that_crashes_engines_breaks_no_other_answer(self):
        prompts = ["KILL-SERVER, please", *self.prompts(4)]
        for prompt, answer in self.send_concurrently(prompts):
            self.check_complete_or_clear_error(prompt, answer)
        after = "Is anyone there?"
        wait_until(
            lambda: self.is_complete_own_answer(after, self.send_chat(after, False)), "the engines to serve again"
        )


class WhenAnswersAreMixedUpOrLate(EnginesCase):
    def test_the_answer_of_another_attempt_is_never_delivered(self):
        self.set_faults_on_all_engines(crossed=True)
        for prompt, answer in self.send_concurrently(self.prompts()):
            self.assertFalse(self.is_complete_own_answer(prompt, answer), "the answer of another attempt was delivered")
            self.check_complete_or_clear_error(prompt, answer)
            for other in self.prompts():
                self.assertNotIn(other, answer.body)

    def test_all_answers_are_complete_if_only_one_engine_mixes_up_answers(self):
        self.fleet.faults(ENGINES[0], crossed=True)
        for prompt, answer in self.send_concurrently(self.prompts()):
            self.assertTrue(self.is_complete_own_answer(prompt, answer), answer.body)

    def test_late_answers_are_complete(self):
        self.set_faults_on_all_engines(late_ms=1500)
        for prompt, answer in self.send_concurrently(self.prompts()):
            self.assertTrue(self.is_complete_own_answer(prompt, answer), answer.body)


if __name__ == "__main__":
    unittest.main()
