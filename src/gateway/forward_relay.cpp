// The part of ForwardCall that reads responses of backend servers and forwards them to the caller.

#include "core/chunked_body.h"
#include "gateway/forward_call.h"
#include "gateway/http_fields.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>

namespace carawaypoint
{

namespace http = boost::beast::http;

namespace
{

constexpr std::size_t MaxResponseBytes = std::size_t{16} * 1024 * 1024;
/// Bytes of a response that nobody needs, before its connection is closed instead.
constexpr std::size_t MaxDiscardedBytes = std::size_t{64} * 1024;
/// Bytes of a body that have to arrive before memory is reserved for its stated length.
constexpr std::size_t TrustedBodyBytes = std::size_t{32} * 1024;
constexpr std::size_t MaxEventBytes = std::size_t{512} * 1024;
/// An incomplete event counts as progress when it grows by this much. A stalled server may send a few bytes now and then.
constexpr std::size_t EventGrowthBytes = 1024;
/// Time after its first event in which the loss of a server may be the effect of the stream's request: it runs in the first batches then.
constexpr Duration StreamProofTime = milliseconds(500);
/// The connection of a caller that accepts no bytes for this long is closed.
constexpr Duration CallerWriteTimeout = seconds(5);
/// Servers close idle connections after a keep-alive time that they may state in full seconds; the pool closes them before that.
constexpr double DefaultKeepAliveSeconds = 4;
constexpr double KeepAliveShare = 0.75;

/// Whether @p text has nothing but line ends, which are no part of an event.
bool isBlank(std::string_view text)
{
    return text.find_first_not_of("\r\n") == std::string_view::npos;
}

}

asio::awaitable<bool> ForwardCall::readBody(BackendLink &link, Response &response, std::string &body)
{
    std::array<char, 8192> space{};
    while (!response.is_done()) {
        response.get().body().data = space.data();
        response.get().body().size = space.size();
        const auto [error, bytes] = co_await http::async_read_some(link.connection->socket(), link.connection->buffer(), response, UseResult);
        const auto count = space.size() - response.get().body().size;
        const auto length = body.size() + count;
        const bool hasRoom = length <= MaxResponseBytes && reserveResponse(body, length, response.content_length().value_or(0));
        if ((error && error != http::error::need_buffer) || !hasRoom) {
            link.isLost = isConnectionLost(error);
            buffered_.resize(0);
            co_return false;
        }
        body.append(space.data(), count);
    }
    co_return true;
}

/// Makes room for @p bytes in @p body, of which the response states @p statedLength in total, or 0. Returns false when the memory for responses does
/// not suffice.
bool ForwardCall::reserveResponse(std::string &body, std::size_t bytes, std::uint64_t statedLength)
{
    if (bytes <= body.capacity()) {
        return true;
    }
    // A stated length is trusted once part of the body has arrived, since growing in steps needs room for both copies each time.
    const bool isTrusted = bytes >= TrustedBodyBytes && statedLength <= MaxResponseBytes;
    const auto grown = std::max({bytes, 2 * body.capacity(), isTrusted ? static_cast<std::size_t>(statedLength) : 0});
    // Both copies exist while the content moves.
    if (!buffered_.resize(body.capacity() + grown)) {
        return false;
    }
    body.reserve(grown);
    return buffered_.resize(body.capacity());
}

/// Reads the rest of a response that is not forwarded, so that its connection can be used again. Returns false when it is too long.
asio::awaitable<bool> ForwardCall::discardBody(BackendLink &link, Response &response)
{
    if (co_await receiveChunkedBegin(link.connection->socket(), link.connection->buffer(), response)) {
        co_return false;
    }
    std::array<char, 8192> space{};
    std::size_t total = 0;
    while (!response.is_done()) {
        response.get().body().data = space.data();
        response.get().body().size = space.size();
        const auto [error, bytes] = co_await http::async_read_some(link.connection->socket(), link.connection->buffer(), response, UseResult);
        total += space.size() - response.get().body().size;
        if ((error && error != http::error::need_buffer) || total > MaxDiscardedBytes) {
            co_return false;
        }
    }
    co_return true;
}

void ForwardCall::keepOrClose(BackendLink &link, Response &response)
{
    // The end of this call must not interrupt a connection that the pool may give to another one.
    activeLink_.reset();
    link.connection->unlimit();
    const bool isLeaving = context_.serverStatements.isLeaving(link.server, link.serverStartedAt);
    const bool isOtherWay = link.isProxied != context_.links.isCutOff();
    // Bytes after a complete response belong to no request.
    if (isLeaving || isOtherWay || !response.keep_alive() || response.need_eof() || link.connection->buffer().size() > 0 || link.connection->isInterrupted()) {
        link.connection->close();
        return;
    }
    const double stated = keepAliveSeconds(response.get(), DefaultKeepAliveSeconds);
    const auto keepAlive = Duration(static_cast<std::int64_t>(stated * KeepAliveShare * 1e6));
    context_.pool.release(link, keepAlive);
}

asio::awaitable<ForwardCall::AttemptEnd> ForwardCall::relayCompleteResponse(BackendLink &link, Response &response)
{
    std::string body;
    if (!co_await readBody(link, response, body)) {
        link.connection->close();
        co_return AttemptEnd::Failed;
    }
    const auto status = response.get().result_int();
    recordAnswer(status < 500 && !impliesNotRun(status));
    keepOrClose(link, response);
    if (status >= 500 && standby_) {
        co_return AttemptEnd::Failed;
    }
    if (status >= 500 && route_->isRepeatable() && sentAttempts_ < route_->maxAttempts && context_.retryBudget.tryTake(service_, context_.now())) {
        mayHaveRun_ = true;
        context_.loadTracker.recordFailure(VmId(entry_.server), context_.now());
        context_.log.writeStep(entry_.id, "request sent again", "the server answered with an error", entry_.server, context_.now());
        const auto *target = chooseTarget();
        if (target != nullptr && !isCallerGone_) {
            const auto end = co_await attempt(*target);
            hasAnswer_ = true; // of the server of this attempt, whose caller checks it
            co_return end;
        }
    }
    // These statuses state that the request did not run, which is not certain here.
    if (impliesNotRun(status)) {
        co_return AttemptEnd::Failed;
    }
    entry_.status = status;
    entry_.code = status < 500 ? ResultCode::Ok : ResultCode::BackendBadAnswer;
    entry_.reason = status < 500 ? "answered" : "the server answered with an error";
    http::fields fields;
    copyEndToEndFields(response.get(), fields);
    auto text = responseHead(fields, status, response.get().reason());
    const bool hasNoBody = request_.method() == http::verb::head || status == 204 || status == 304;
    if (hasNoBody) {
        const auto length = response.get()[http::field::content_length];
        text += length.empty() ? "\r\n" : "Content-Length: " + std::string(length) + "\r\n\r\n";
    } else {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    }
    const std::string_view sentBody = hasNoBody ? std::string_view() : std::string_view(body);
    const bool isWritten = co_await writeCaller(std::move(text), sentBody);
    co_return isWritten ? AttemptEnd::Answered : AttemptEnd::CallerLost;
}

ForwardCall::EventBatch ForwardCall::collectEvents(EventSplitter &splitter)
{
    EventBatch batch;
    while (const auto event = splitter.next()) {
        batch.hasData = batch.hasData || event->hasData;
        if (event->id && lastEventId_ && *event->id <= *lastEventId_) {
            continue;
        }
        if (event->id) {
            lastEventId_ = event->id;
        }
        batch.bytes += event->bytes;
    }
    return batch;
}

/// A request may crash its server just after the first event, so that only a stream that goes on for some time shows that the server bears it.
void ForwardCall::recordStreamData()
{
    const auto now = context_.now();
    firstDataAt_ = firstDataAt_.value_or(now);
    if (now - *firstDataAt_ >= StreamProofTime) {
        recordAnswer(true);
    }
}

asio::awaitable<ForwardCall::AttemptEnd> ForwardCall::relayStream(BackendLink &link, Response &response)
{
    EventSplitter splitter;
    std::array<char, 8192> space{};
    std::size_t bytesSinceProgress = 0;
    const VmId server(entry_.server);
    while (!response.is_done()) {
        response.get().body().data = space.data();
        response.get().body().size = space.size();
        const auto [error, bytes] = co_await http::async_read_some(link.connection->socket(), link.connection->buffer(), response, UseResult);
        const auto count = space.size() - response.get().body().size;
        if (count > 0) {
            context_.links.monitor().recordData(context_.now());
            splitter.feed({space.data(), count});
            const auto batch = collectEvents(splitter);
            if (batch.hasData) {
                recordStreamData();
                // The server speaks again, unless the other one has begun to answer before.
                if (!isRerouting_) {
                    dropStandby();
                }
            }
            bytesSinceProgress += count;
            if (batch.hasData || bytesSinceProgress >= EventGrowthBytes) {
                bytesSinceProgress = 0;
                context_.loadTracker.recordProgress(server);
                context_.loadTracker.recordPrefillEnd(server, std::exchange(pendingPrefillTokens_, 0));
            }
            if (splitter.rest().size() > MaxEventBytes || !buffered_.resize(splitter.rest().size())) {
                link.connection->close();
                co_return AttemptEnd::Failed;
            }
            bool isWritten = true;
            if (!batch.bytes.empty()) {
                isWritten = co_await writeEvents(batch.bytes, response);
            }
            if (!isWritten) {
                link.connection->close();
                co_return AttemptEnd::CallerLost;
            }
        }
        if (error && error != http::error::need_buffer) {
            link.isLost = isConnectionLost(error);
            link.connection->close();
            co_return isCallerGone_ ? AttemptEnd::CallerLost : AttemptEnd::Failed;
        }
    }
    if (!isBlank(splitter.rest())) {
        // A server that is interrupted inside an event may still close its connection in order.
        link.connection->close();
        co_return isCallerGone_ ? AttemptEnd::CallerLost : AttemptEnd::Failed;
    }
    recordAnswer(true);
    keepOrClose(link, response);
    bool isWritten = true;
    if (!isHeaderSent_) {
        isWritten = co_await writeEvents({}, response);
    }
    if (isWritten) {
        isWritten = co_await writeCaller("0\r\n\r\n");
    }
    if (!isWritten) {
        co_return AttemptEnd::CallerLost;
    }
    failWith(ResultCode::Ok, "stream complete");
    co_return AttemptEnd::Answered;
}

asio::awaitable<bool> ForwardCall::writeEvents(std::string_view bytes, const Response &response)
{
    std::string text;
    if (!isHeaderSent_) {
        http::fields fields;
        copyEndToEndFields(response.get(), fields);
        entry_.status = response.get().result_int();
        text = responseHead(fields, entry_.status, response.get().reason()) + "Transfer-Encoding: chunked\r\n\r\n";
        isHeaderSent_ = true;
    }
    if (!bytes.empty()) {
        if (!hasEvents_) {
            entry_.firstEvent = context_.now() - receivedAt_;
        }
        hasEvents_ = true;
        text += makeChunk(bytes);
    }
    co_return co_await writeCaller(std::move(text));
}

/// Sends @p head and then @p body, which is not copied and has to exist until the end.
asio::awaitable<bool> ForwardCall::writeCaller(std::string head, std::string_view body)
{
    hasSentResponse_ = true;
    const std::array<asio::const_buffer, 2> buffers{asio::buffer(head), asio::buffer(body)};
    caller_->limit(CallerWriteTimeout);
    const auto [error, count] = co_await asio::async_write(caller_->socket(), buffers, UseResult);
    caller_->unlimit();
    if (error) {
        mustCloseCaller_ = true;
        failWith(ResultCode::CallerClosed, "the answer could not be delivered");
    }
    co_return !error;
}

}
