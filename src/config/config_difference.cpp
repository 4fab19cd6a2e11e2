#include "config/config_difference.h"

#include <algorithm>
#include <set>

namespace carawaypoint
{

namespace
{

/// Largest product of the line counts of a changed block. A larger block is reported as removed and added entirely, because
/// the table for the comparison would take too much memory.
constexpr std::size_t MaxLcsTableCells = 4'000'000;

using EntryMap = std::map<std::string, const EffectiveEntry *>;

EntryMap mapEntries(const LoadedConfig &config, const std::string &site)
{
    EntryMap entries;
    if (const auto found = config.sites.find(site); found != config.sites.end()) {
        for (const auto &entry : found->second.entries) {
            entries.emplace(entry.section + "." + entry.key, &entry);
        }
    }
    return entries;
}

std::optional<EffectiveEntry> findEntry(const EntryMap &entries, const std::string &key)
{
    const auto found = entries.find(key);
    return found == entries.end() ? std::nullopt : std::optional(*found->second);
}

template<typename Map>
void addKeys(std::set<std::string> &keys, const Map &map)
{
    for (const auto &[key, value] : map) {
        keys.insert(key);
    }
}

std::vector<std::string> splitLines(const std::string &text)
{
    std::vector<std::string> lines;
    for (std::size_t start = 0; start < text.size();) {
        const auto end = std::min(text.find('\n', start), text.size());
        lines.push_back(text.substr(start, end - start));
        start = end + 1;
    }
    return lines;
}

/// Compares two texts by their longest common subsequence of lines.
class LineComparison
{
public:
    LineComparison(std::string file, const std::string &before, const std::string &after, std::vector<LineDifference> &differences)
        : file_(std::move(file))
        , before_(splitLines(before))
        , after_(splitLines(after))
        , differences_(differences)
    {
    }

    void compare()
    {
        std::size_t start = 0;
        while (start < before_.size() && start < after_.size() && before_[start] == after_[start]) {
            ++start;
        }
        std::size_t beforeEnd = before_.size();
        std::size_t afterEnd = after_.size();
        while (beforeEnd > start && afterEnd > start && before_[beforeEnd - 1] == after_[afterEnd - 1]) {
            --beforeEnd;
            --afterEnd;
        }
        const auto rows = beforeEnd - start;
        const auto columns = afterEnd - start;
        // lcsLengths[i * (columns + 1) + j]: length of the longest common subsequence of the lines from row i and column j on.
        std::vector<std::uint32_t> lcsLengths;
        if (rows * columns <= MaxLcsTableCells) {
            lcsLengths = makeLcsTable(start, rows, columns);
        }
        std::size_t i = 0;
        std::size_t j = 0;
        while (i < rows || j < columns) {
            if (i < rows && j < columns && !lcsLengths.empty() && before_[start + i] == after_[start + j]) {
                ++i;
                ++j;
                continue;
            }
            const bool isRemoved =
                i < rows && (j == columns || lcsLengths.empty() || lcsLengths[(i + 1) * (columns + 1) + j] >= lcsLengths[i * (columns + 1) + j + 1]);
            isRemoved ? add(start + i++, before_, false) : add(start + j++, after_, true);
        }
    }

private:
    std::vector<std::uint32_t> makeLcsTable(std::size_t start, std::size_t rows, std::size_t columns) const
    {
        std::vector<std::uint32_t> lcsLengths((rows + 1) * (columns + 1));
        for (auto i = rows; i-- > 0;) {
            for (auto j = columns; j-- > 0;) {
                const auto at = i * (columns + 1) + j;
                lcsLengths[at] =
                    before_[start + i] == after_[start + j] ? lcsLengths[at + columns + 2] + 1 : std::max(lcsLengths[at + columns + 1], lcsLengths[at + 1]);
            }
        }
        return lcsLengths;
    }

    void add(std::size_t index, const std::vector<std::string> &lines, bool isAdded)
    {
        differences_.push_back({file_, static_cast<unsigned>(index + 1), isAdded, lines[index]});
    }

    std::string file_;
    std::vector<std::string> before_;
    std::vector<std::string> after_;
    std::vector<LineDifference> &differences_;
};

std::string textOf(const ConfigDocuments &documents, const std::string &site)
{
    const auto found = documents.sites.find(site);
    return found == documents.sites.end() ? std::string() : found->second;
}

}

std::vector<ValueDifference> compareValues(const LoadedConfig &before, const LoadedConfig &after)
{
    std::vector<ValueDifference> differences;
    std::set<std::string> sites;
    addKeys(sites, before.sites);
    addKeys(sites, after.sites);
    for (const auto &site : sites) {
        const auto old = mapEntries(before, site);
        const auto current = mapEntries(after, site);
        std::set<std::string> keys;
        addKeys(keys, old);
        addKeys(keys, current);
        for (const auto &key : keys) {
            auto oldEntry = findEntry(old, key);
            auto currentEntry = findEntry(current, key);
            if (!oldEntry || !currentEntry || oldEntry->value != currentEntry->value) {
                differences.push_back({site, key, std::move(oldEntry), std::move(currentEntry)});
            }
        }
    }
    return differences;
}

std::vector<LineDifference> compareLines(const ConfigDocuments &before, const ConfigDocuments &after)
{
    std::vector<LineDifference> differences;
    LineComparison("base.ini", before.base, after.base, differences).compare();
    std::set<std::string> sites;
    addKeys(sites, before.sites);
    addKeys(sites, after.sites);
    for (const auto &site : sites) {
        LineComparison("sites/" + site + ".ini", textOf(before, site), textOf(after, site), differences).compare();
    }
    return differences;
}

}
