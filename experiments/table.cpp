#include "experiments/table.h"

#include "experiments/statistics.h"

#include <algorithm>
#include <cstdint>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace carawaypoint::experiments
{

namespace
{

std::string number(double value)
{
    std::ostringstream text;
    text << std::setprecision(3) << value;
    return text.str();
}

std::string meanText(const std::vector<double> &values)
{
    return values.empty() ? "-" : number(summarize(values).mean);
}

std::string rangeText(const std::vector<double> &values)
{
    const SampleSummary summary = summarize(values);
    return number(summary.minimum) + " to " + number(summary.maximum);
}

std::string seedsText(const std::vector<std::uint64_t> &seeds)
{
    return std::to_string(seeds.front()) + "-" + std::to_string(seeds.back());
}

std::string verdict(const Measure &measure)
{
    if (!measure.isMet) {
        return "no target";
    }
    const bool isMet = std::all_of(measure.ratio.begin(), measure.ratio.end(), measure.isMet);
    return std::string(isMet ? "met" : "missed") + " (" + measure.target + ")";
}

void writeCsv(const std::vector<Measure> &measures, const RunOptions &options)
{
    std::ofstream file(options.csvPath, std::ios::app);
    for (const Measure &measure : measures) {
        for (std::size_t i = 0; i < options.seeds.size(); ++i) {
            file << '"' << measure.name << "\"," << options.seeds[i] << ',' << (i < measure.baseline.size() ? number(measure.baseline[i]) : "") << ','
                 << (i < measure.chosen.size() ? number(measure.chosen[i]) : "") << ',' << (i < measure.ratio.size() ? number(measure.ratio[i]) : "") << '\n';
        }
    }
}

}

void printTable(const std::vector<Measure> &measures, const RunOptions &options)
{
    std::cout << "| measure | workload | seeds | baseline | chosen | ratio | spread of ratio | target |\n|---|---|---|---|---|---|---|---|\n";
    for (const Measure &measure : measures) {
        std::cout << "| " << measure.name << " | " << measure.workload << " | " << seedsText(options.seeds) << " | " << meanText(measure.baseline) << " | "
                  << meanText(measure.chosen) << " | " << meanText(measure.ratio) << " | " << rangeText(measure.ratio) << " | " << verdict(measure) << " |\n";
    }
    if (!options.csvPath.empty()) {
        writeCsv(measures, options);
    }
}

}
