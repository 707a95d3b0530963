/// \file statements.hpp
/// The statement language of the stand-in: put, get, add, append, sleep, blob, fail.

#pragma once

#include "refusal.hpp"

#include <chrono>
#include <json/value.h>
#include <map>
#include <string>
#include <vector>

namespace papayadb {

/// The data: values by key.
using table = std::map<std::string, std::string>;
/// Statements of one request, in order.
using statement_list = std::vector<std::string>;

/// What statements did: a row for each, and the values they wrote.
struct execution
{
    Json::Value rows{Json::arrayValue};
    table written;
};

/// Runs \p statements on top of \p data without changing it. `statement_failed` if one
/// is unknown, malformed or "fail".
outcome<execution> execute(const table& data, const statement_list& statements);

/// Whether one of \p statements writes.
bool writes(const statement_list& statements);

/// How long the "sleep" statements among \p statements take together.
std::chrono::milliseconds sleep_of(const statement_list& statements);

} // namespace papayadb
