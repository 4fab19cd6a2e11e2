// A small blocking HTTP/1.1 server and client for the cases of review 3. One thread a connection.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <string>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace rig
{

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

inline void sleepMs(long ms)
{
    if (ms > 0) {
        std::this_thread::sleep_for(Ms(ms));
    }
}

struct CaseLess {
    bool operator()(const std::string &left, const std::string &right) const
    {
        return strcasecmp(left.c_str(), right.c_str()) < 0;
    }
};
using Headers = std::map<std::string, std::string, CaseLess>;

struct Message {
    std::string first; // request or status line
    std::string method;
    std::string target;
    int status = 0;
    Headers headers;
    std::string body;
    std::string header(const std::string &name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }
};

/// A connected socket with a receive buffer.
class Socket
{
public:
    explicit Socket(int fd)
        : fd_(fd)
    {
        int one = 1;
        setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    }
    ~Socket()
    {
        close();
    }
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;

    static std::unique_ptr<Socket> connect(const std::string &host, int port, int receiveBuffer = 0)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (receiveBuffer > 0) {
            setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
        }
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, host.c_str(), &address.sin_addr);
        if (::connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0) {
            ::close(fd);
            return nullptr;
        }
        return std::make_unique<Socket>(fd);
    }
    int fd() const
    {
        return fd_;
    }
    bool send(const std::string &text)
    {
        for (std::size_t sent = 0; sent < text.size();) {
            const auto count = ::send(fd_, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }
    /// Receives some bytes into the buffer. Returns false at the end, on an error and after @p timeoutMs; negative waits without limit.
    bool receive(long timeoutMs = -1, std::size_t most = 65536)
    {
        pollfd waiting{fd_, POLLIN, 0};
        if (::poll(&waiting, 1, static_cast<int>(timeoutMs)) <= 0) {
            isTimedOut_ = true;
            return false;
        }
        std::string space(most, '\0');
        const auto count = ::recv(fd_, space.data(), space.size(), 0);
        if (count <= 0) {
            return false;
        }
        buffer_.append(space, 0, static_cast<std::size_t>(count));
        return true;
    }
    bool isTimedOut() const
    {
        return isTimedOut_;
    }
    std::string &buffer()
    {
        return buffer_;
    }
    /// Reads the head of a request or response.
    bool readHead(Message &message, long timeoutMs = -1)
    {
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (!receive(timeoutMs)) {
                return false;
            }
        }
        const auto head = buffer_.substr(0, end + 2);
        buffer_.erase(0, end + 4);
        std::size_t position = 0;
        for (bool isFirst = true; position < head.size(); isFirst = false) {
            const auto lineEnd = head.find("\r\n", position);
            const auto line = head.substr(position, lineEnd - position);
            position = lineEnd + 2;
            if (isFirst) {
                message.first = line;
                const auto space = line.find(' ');
                const auto second = line.find(' ', space + 1);
                message.method = line.substr(0, space);
                message.target = line.substr(space + 1, second - space - 1);
                message.status = std::atoi(message.target.c_str());
                continue;
            }
            const auto colon = line.find(':');
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            message.headers[line.substr(0, colon)] = value;
        }
        return true;
    }
    /// Takes one chunk of a chunked body; an empty one is the last.
    bool readChunk(std::string &chunk, long timeoutMs = -1)
    {
        std::size_t lineEnd = 0;
        while ((lineEnd = buffer_.find("\r\n")) == std::string::npos) {
            if (!receive(timeoutMs)) {
                return false;
            }
        }
        const auto size = std::strtoul(buffer_.c_str(), nullptr, 16);
        while (buffer_.size() < lineEnd + 2 + size + 2) {
            if (!receive(timeoutMs)) {
                return false;
            }
        }
        chunk = buffer_.substr(lineEnd + 2, size);
        buffer_.erase(0, lineEnd + 2 + size + 2);
        return true;
    }
    /// Reads the body. Returns whether it is complete.
    bool readBody(Message &message, long timeoutMs = -1)
    {
        if (message.header("Transfer-Encoding") == "chunked") {
            std::string chunk;
            while (readChunk(chunk, timeoutMs)) {
                if (chunk.empty()) {
                    return true;
                }
                message.body += chunk;
            }
            return false;
        }
        const auto size = std::strtoul(message.header("Content-Length").c_str(), nullptr, 10);
        while (buffer_.size() < size) {
            if (!receive(timeoutMs)) {
                return false;
            }
        }
        message.body = buffer_.substr(0, size);
        buffer_.erase(0, size);
        return true;
    }
    /// Makes the connection end with a reset, once its thread has returned from what it receives.
    void reset()
    {
        linger hard{1, 0};
        setsockopt(fd_, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
        ::shutdown(fd_, SHUT_RD);
    }
    void close()
    {
        if (fd_ >= 0) {
            ::close(fd_);
            fd_ = -1;
        }
    }

private:
    int fd_;
    std::string buffer_;
    bool isTimedOut_ = false;
};

inline std::string response(int status, const std::string &body, const std::string &moreHeaders = {})
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + moreHeaders + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Listens while it is up. The handler answers one request and returns whether the connection is kept.
class Server
{
public:
    using Handler = std::function<bool(Socket &, Message &)>;

    Server(std::string host, int port, Handler handler)
        : host_(std::move(host))
        , port_(port)
        , handler_(std::move(handler))
    {
    }
    bool start()
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int one = 1;
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port_));
        inet_pton(AF_INET, host_.c_str(), &address.sin_addr);
        if (::bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0 || ::listen(fd, 512) != 0) {
            ::close(fd);
            return false;
        }
        listener_ = fd;
        std::thread([this, fd] { accept(fd); }).detach();
        return true;
    }
    /// Refuses connections and resets the open ones, as a crash does.
    void stop()
    {
        const int fd = listener_.exchange(-1);
        if (fd >= 0) {
            ::shutdown(fd, SHUT_RDWR);
            ::close(fd);
        }
        const std::lock_guard lock(mutex_);
        for (auto *socket : open_) {
            socket->reset();
        }
    }

private:
    void accept(int fd)
    {
        while (listener_ == fd) {
            const int accepted = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                if (listener_ != fd) {
                    return;
                }
                continue;
            }
            std::thread([this, accepted] { serve(accepted); }).detach();
        }
    }
    void serve(int accepted)
    {
        Socket socket(accepted);
        {
            const std::lock_guard lock(mutex_);
            open_.insert(&socket);
        }
        bool isKept = true;
        while (isKept) {
            Message request;
            isKept = socket.readHead(request) && socket.readBody(request) && handler_(socket, request);
        }
        const std::lock_guard lock(mutex_);
        open_.erase(&socket);
    }

    std::string host_;
    int port_;
    Handler handler_;
    std::atomic<int> listener_{-1};
    std::mutex mutex_;
    std::set<Socket *> open_;
};

}
