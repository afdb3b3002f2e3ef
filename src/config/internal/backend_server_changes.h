#pragma once

#include "config/configuration.h"
#include "config/internal/change_list.h"

namespace mustardtrail::config
{

void addBackendServers(const configuration &before, const configuration &after, change_list &changes);

} // namespace mustardtrail::config
