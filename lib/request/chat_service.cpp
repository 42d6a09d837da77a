// Starts chat requests.
#include "chat_run.h"

#include <agatespar/request/chat_service.h>

namespace agatespar {

chat_service::chat_service(chat_dependencies dependencies) : dependencies_(std::move(dependencies)) {}

chat_service::~chat_service() = default;

cancel_handle chat_service::run(chat_request request, answer_sink sink, bool forwarded)
{
    auto run = std::make_shared<chat_run>(dependencies_, std::move(request), std::move(sink), forwarded);
    run->start();
    return [run] { run->cancel(); };
}

} // namespace agatespar
