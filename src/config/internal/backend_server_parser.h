#pragma once

#include "config/configuration.h"
#include "config/internal/config_key.h"
#include "config/internal/field_reader.h"
#include "config/internal/problem_list.h"

namespace mustardtrail::config
{

/// Reads one backend server; an id that the configuration holds already is reported.
void parseBackendServer(const config_key &key, field_reader &fields, configuration &into, problem_list &problems);

} // namespace mustardtrail::config
