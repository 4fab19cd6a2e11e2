#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace carawaypoint::experiments
{

/// Options of an experiment.
struct RunOptions {
    std::vector<std::uint64_t> seeds;
    std::string csvPath; // file to append to; empty: no CSV
};

/// A measured value for the baseline and the chosen policy; the vectors have one value per seed.
struct Measure {
    std::string name;
    std::string workload;
    std::vector<double> baseline{};
    std::vector<double> chosen{};
    std::vector<double> ratio{}; // value that the target limits
    std::string target{}; // as in section 1.4 of the design page
    bool (*isMet)(double ratio) = nullptr; // checks the target, which must be met for every seed; null: no target
};

/// Prints @p measures as a Markdown table, and appends one CSV line per measure and seed to options.csvPath unless it is empty.
void printTable(const std::vector<Measure> &measures, const RunOptions &options);

}
