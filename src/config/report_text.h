#pragma once

#include "config/config_problem.h"
#include "config/configuration.h"
#include "config/language.h"
#include "config/preview_report.h"

#include <string>
#include <vector>

namespace mustardtrail::config
{

/// Tables for operators, in their language.
std::string problemsText(const std::vector<config_problem> &problems, language in);
std::string summaryText(const configuration &value, language in);
std::string previewText(const preview_report &report, language in);

/// The same for programs, one JSON object without regard to languages except in "message".
std::string problemsJson(const std::vector<config_problem> &problems, language in);
std::string summaryJson(const configuration &value);
std::string previewJson(const preview_report &report, language in);

/// Message of one problem with its values filled in.
std::string problemText(const config_problem &problem, language in);

} // namespace mustardtrail::config
