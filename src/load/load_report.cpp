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
    whole_ += result.isWhole ? 1 : 0;
    wrong_ += result.hasWrongContent ? 1 : 0;
    tokens_ += result.tokens;
    ++codes_[result.resultCode + " " + result.runState];
    for (const std::string &name : {std::string(result.isLong ? "long" : "short"), result.customer}) {
        Group &group = groups_[name];
        ++group.count;
        if (result.isWhole) {
            ++group.whole;
            group.firstToken.add(result.firstToken);
            group.total.add(result.total);
        }
    }
    if (result.tokens > 1) {
        gaps_.add(result.longestGap);
    }
}

std::string LoadReport::table() const
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(1);
    out << "requests " << count_ << ", whole answers " << whole_ << ", wrong content " << wrong_ << ", tokens " << tokens_ << '\n';
    out << "group            count    whole  first token p50/p95/p99 ms      total p50/p99 ms\n";
    for (const auto &[name, group] : groups_) {
        out << std::left << std::setw(14) << name << std::right << std::setw(8) << group.count << std::setw(9) << group.whole << std::setw(12)
            << toMs(group.firstToken.quantile(0.5)) << std::setw(9) << toMs(group.firstToken.quantile(0.95)) << std::setw(9)
            << toMs(group.firstToken.quantile(0.99)) << std::setw(14) << toMs(group.total.quantile(0.5)) << std::setw(9) << toMs(group.total.quantile(0.99))
            << '\n';
    }
    out << "longest gap between tokens of a request p50/p95: " << toMs(gaps_.quantile(0.5)) << " / " << toMs(gaps_.quantile(0.95)) << " ms\n";
    for (const auto &[code, count] : codes_) {
        out << "result " << code << ": " << count << '\n';
    }
    return out.str();
}

std::string LoadReport::json() const
{
    boost::json::object groups;
    for (const auto &[name, group] : groups_) {
        groups[name] = boost::json::object{{"count", group.count},
                                           {"whole", group.whole},
                                           {"first_token_p50_ms", toMs(group.firstToken.quantile(0.5))},
                                           {"first_token_p95_ms", toMs(group.firstToken.quantile(0.95))},
                                           {"first_token_p99_ms", toMs(group.firstToken.quantile(0.99))},
                                           {"total_p50_ms", toMs(group.total.quantile(0.5))},
                                           {"total_p99_ms", toMs(group.total.quantile(0.99))}};
    }
    boost::json::object codes;
    for (const auto &[code, count] : codes_) {
        codes[code] = count;
    }
    const boost::json::object report{{"requests", count_},
                                     {"whole", whole_},
                                     {"wrong", wrong_},
                                     {"tokens", tokens_},
                                     {"groups", std::move(groups)},
                                     {"results", std::move(codes)},
                                     {"gap_p95_ms", toMs(gaps_.quantile(0.95))}};
    return boost::json::serialize(report);
}

}
