#include "experiments/experiments.h"

#include <CLI/CLI.hpp>

#include <iostream>

int main(int argc, char **argv)
{
    using namespace carawaypoint::experiments;
    CLI::App app("Measures the routing policies of carawaypoint on a virtual clock");
    app.require_subcommand(1);
    app.fallthrough();
    RunOptions options;
    std::uint64_t firstSeed = 1;
    unsigned seeds = 5;
    app.add_option("--first-seed", firstSeed, "first seed")->capture_default_str();
    app.add_option("--seeds", seeds, "number of seeds")->capture_default_str()->check(CLI::Range(1, 1000));
    app.add_option("--csv", options.csvPath, "file to which one line per measure and seed is added: measure, seed, baseline, chosen, ratio");

    struct Experiment {
        const char *name;
        const char *help;
        std::vector<Measure> (*run)(const RunOptions &);
    };
    const Experiment experiments[] = {
        {"short-behind-long", "target 1: short work behind long", &measureShortBehindLong},
        {"peak-demand", "target 2: peak demand of one customer", &measurePeakDemand},
        {"late-reports", "target 3: replica selection with late reports", &measureLateReports},
        {"straggler", "target 5: a straggler's share of requests", &measureStraggler},
    };
    for (const Experiment &experiment : experiments) {
        app.add_subcommand(experiment.name, experiment.help)->callback([&options, &firstSeed, &seeds, run = experiment.run] {
            for (unsigned i = 0; i < seeds; ++i) {
                options.seeds.push_back(firstSeed + i);
            }
            printTable(run(options), options);
        });
    }
    app.add_subcommand("cost", "time and memory of the dispatcher against replicas and customers")->callback(&printDecisionCost);
    CLI11_PARSE(app, argc, argv);
    return 0;
}
