#pragma once

#include <cstddef>

namespace carawaypoint
{

/// Limits the memory that many messages use together, such as the requests of all callers. Used on one thread only.
///
/// The largest message times the number of connections exceeds the memory of a small VM.
class MemoryBudget
{
public:
    /// @param limit in bytes.
    explicit MemoryBudget(std::size_t limit)
        : limit_(limit)
    {
    }

    /// Memory of one message; returned on destruction.
    class Reservation
    {
    public:
        explicit Reservation(MemoryBudget &budget)
            : budget_(budget)
        {
        }
        Reservation(const Reservation &) = delete;
        Reservation &operator=(const Reservation &) = delete;
        ~Reservation();

        /// Changes the reserved number of bytes. Returns false, without effect, when the budget does not suffice.
        bool resize(std::size_t bytes);

    private:
        MemoryBudget &budget_;
        std::size_t bytes_ = 0;
    };

    std::size_t used() const
    {
        return used_;
    }

private:
    std::size_t limit_;
    std::size_t used_ = 0; // bytes
};

}
