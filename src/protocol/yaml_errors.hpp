#pragma once

#include "limpetstack/document.hpp"

#include <yaml-cpp/node/node.h>

#include <cstddef>
#include <string>
#include <vector>

namespace limpetstack
{

/// Errors reported for one text, so that a large wrong file does not produce a
/// report larger than itself.
constexpr std::size_t max_reported_errors = 1000;

/// Collects the errors of one text.
class yaml_errors
{
public:
    /// Adds an error at the place of `node`, which must exist.
    void add(const YAML::Node& node, std::string path, std::string message);

    /// Adds an error at a line and column that count from 1.
    void add(int line, int column, std::string path, std::string message);

    bool empty() const { return errors_.empty(); }
    std::size_t size() const { return errors_.size(); }

    /// Returns the errors in the order of the text.
    std::vector<document_error> sorted() const;

private:
    std::vector<document_error> errors_;
};

/// Returns `line L, column C: PATH: MESSAGE` without the parts that are unset.
std::string error_text(const document_error& error);

} // namespace limpetstack
