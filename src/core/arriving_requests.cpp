#include "core/arriving_requests.h"

#include <algorithm>

namespace carawaypoint
{

ArrivingRequests::Request::Request(ArrivingRequests &requests)
    : requests_(requests)
    , position_(requests.requests_.insert(requests.requests_.end(), this))
{
}

ArrivingRequests::Request::~Request()
{
    remove();
}

void ArrivingRequests::Request::recordProgress()
{
    if (isListed_) {
        requests_.requests_.splice(requests_.requests_.end(), requests_.requests_, position_);
    }
}

void ArrivingRequests::Request::remove()
{
    if (isListed_) {
        requests_.requests_.erase(position_);
        isListed_ = false;
    }
}

bool ArrivingRequests::makeRoom(Shortage shortage, const Request *except)
{
    const auto found = std::find_if(requests_.begin(), requests_.end(), [except](const Request *request) { return request != except; });
    if (found == requests_.end()) {
        return false;
    }
    auto &request = **found;
    request.remove();
    request.giveWay(shortage);
    return true;
}

}
