#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace carawaypoint::experiments
{

/// Options of a run.
struct RunOptions {
    std::vector<std::uint64_t> seeds;
    std::string csvPath; // empty: no CSV
};

/// One measure over all seeds; the vectors have one value per seed.
struct Measure {
    std::string name;
    std::string workload;
    std::vector<double> baseline{};
    std::vector<double> chosen{};
    std::vector<double> ratio{}; // that the target is about
    std::string target{}; // as in the design page, section 1.4
    bool (*isMet)(double ratio) = nullptr; // must hold for every seed; null: no target
};

/// Prints the rows as a Markdown table and adds one CSV line per seed to the file, when one is named.
void printTable(const std::vector<Measure> &measures, const RunOptions &options);

}
