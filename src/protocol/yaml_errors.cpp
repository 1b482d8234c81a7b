#include "protocol/yaml_errors.hpp"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace limpetstack
{

void yaml_errors::add(const YAML::Node& node, std::string path,
                      std::string message)
{
    const auto mark = node.Mark();
    add(mark.line + 1, mark.column + 1, std::move(path), std::move(message));
}

void yaml_errors::add(int line, int column, std::string path,
                      std::string message)
{
    if (errors_.size() == max_reported_errors)
    {
        errors_.push_back({0, 0, "", "further errors are not shown"});
    }
    if (errors_.size() < max_reported_errors)
    {
        errors_.push_back({std::max(line, 0), std::max(column, 0),
                           std::move(path), std::move(message)});
    }
}

std::vector<document_error> yaml_errors::sorted() const
{
    auto result = errors_;
    std::stable_sort(result.begin(), result.end(),
                     [](const document_error& a, const document_error& b)
                     {
                         // Errors without a place come last.
                         const auto place = [](const document_error& e)
                         {
                             return std::make_tuple(e.line == 0, e.line,
                                                    e.column);
                         };
                         return place(a) < place(b);
                     });
    return result;
}

std::string error_text(const document_error& error)
{
    std::string text;
    if (error.line > 0)
    {
        text += "line " + std::to_string(error.line) + ", column " +
                std::to_string(error.column) + ": ";
    }
    if (!error.path.empty())
    {
        text += error.path + ": ";
    }
    return text + error.message;
}

} // namespace limpetstack
