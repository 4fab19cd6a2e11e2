#include "load/load_report.h"

#include <boost/json.hpp>

#include <iomanip>
#include <sstream>

namespace carawaypoint
{

namespace
{

double toMs(Duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

}

void LoadReport::add(const LoadResult &result)
{
    ++count_;
    completeAnswers_ += result.isComplete ? 1 : 0;
    wrongAnswers_ += result.hasWrongContent ? 1 : 0;
    tokenCount_ += result.tokens;
    ++resultCounts_[result.resultCode + " " + result.runState];
    for (const std::string &name : {std::string(result.isLong ? "long" : "short"), result.customer}) {
        Group &group = groups_[name];
        ++group.count;
        if (result.isComplete) {
            ++group.completeAnswers;
            group.firstTokenLatency.add(result.firstTokenLatency);
            group.totalLatency.add(result.totalLatency);
        }
    }
    if (result.tokens > 1) {
        longestGaps_.add(result.longestGap);
    }
}

std::string LoadReport::table() const
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(1);
    out << "requests " << count_ << ", whole answers " << completeAnswers_ << ", wrong content " << wrongAnswers_ << ", tokens " << tokenCount_ << '\n';
    out << "group            count    whole  first token p50/p95/p99 ms      total p50/p99 ms\n";
    for (const auto &[name, group] : groups_) {
        out << std::left << std::setw(14) << name << std::right << std::setw(8) << group.count << std::setw(9) << group.completeAnswers << std::setw(12)
            << toMs(group.firstTokenLatency.quantile(0.5)) << std::setw(9) << toMs(group.firstTokenLatency.quantile(0.95)) << std::setw(9)
            << toMs(group.firstTokenLatency.quantile(0.99)) << std::setw(14) << toMs(group.totalLatency.quantile(0.5)) << std::setw(9)
            << toMs(group.totalLatency.quantile(0.99)) << '\n';
    }
    out << "longest gap between tokens of a request p50/p95: " << toMs(longestGaps_.quantile(0.5)) << " / " << toMs(longestGaps_.quantile(0.95)) << " ms\n";
    for (const auto &[code, count] : resultCounts_) {
        out << "result " << code << ": " << count << '\n';
    }
    return out.str();
}

std::string LoadReport::json() const
{
    boost::json::object groups;
    for (const auto &[name, group] : groups_) {
        groups[name] = boost::json::object{{"count", group.count},
                                           {"whole", group.completeAnswers},
                                           {"first_token_p50_ms", toMs(group.firstTokenLatency.quantile(0.5))},
                                           {"first_token_p95_ms", toMs(group.firstTokenLatency.quantile(0.95))},
                                           {"first_token_p99_ms", toMs(group.firstTokenLatency.quantile(0.99))},
                                           {"total_p50_ms", toMs(group.totalLatency.quantile(0.5))},
                                           {"total_p99_ms", toMs(group.totalLatency.quantile(0.99))}};
    }
    boost::json::object codes;
    for (const auto &[code, count] : resultCounts_) {
        codes[code] = count;
    }
    const boost::json::object report{{"requests", count_},
                                     {"whole", completeAnswers_},
                                     {"wrong", wrongAnswers_},
                                     {"tokens", tokenCount_},
                                     {"groups", std::move(groups)},
                                     {"results", std::move(codes)},
                                     {"gap_p95_ms", toMs(longestGaps_.quantile(0.95))}};
    return boost::json::serialize(report);
}

}
