#pragma once

#include <cstdint>
#include <list>

namespace carawaypoint
{

/// The requests of callers that are being received, in the order of their last progress. Used on one thread only.
///
/// When memory or descriptors run out, the request that has waited longest for its next bytes gives way: requests that callers leave unfinished
/// are the first, and one that is being sent is hardly ever chosen.
class ArrivingRequests
{
public:
    /// Why a request gives way.
    enum class Shortage : std::uint8_t {
        Memory,
        Descriptors,
    };

    /// A request that is being received; listed while it exists.
    class Request
    {
    public:
        explicit Request(ArrivingRequests &requests);
        virtual ~Request();
        Request(const Request &) = delete;
        Request &operator=(const Request &) = delete;

    protected:
        /// Bytes of the request were received.
        void recordProgress();
        /// The request gives way no more, since it is complete or has failed. Has no effect when it was removed already.
        void remove();

    private:
        friend class ArrivingRequests;
        /// Releases the memory of the request at once and ends its receipt. Called once at most.
        virtual void giveWay(Shortage shortage) = 0;

        ArrivingRequests &requests_;
        std::list<Request *>::iterator position_;
        bool isListed_ = true;
    };

    /// Makes the request with the least recent progress give way, but not @p except. Returns false when there is none.
    bool makeRoom(Shortage shortage, const Request *except = nullptr);

private:
    std::list<Request *> requests_; // least recent progress first
};

}
