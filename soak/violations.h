#pragma once

#include <iostream>
#include <string>
#include <vector>

namespace carawaypoint::soak
{

/// Collects and prints the violations of guarantees that callers and backend servers detect.
class Violations
{
public:
    void add(const std::string &guarantee, const std::string &detail)
    {
        entries_.push_back(guarantee + ": " + detail);
        std::cout << "VIOLATION " << entries_.back() << std::endl;
    }
    const std::vector<std::string> &entries() const
    {
        return entries_;
    }

private:
    std::vector<std::string> entries_;
};

}
