#pragma once

#include "testing/golden_file.h"

namespace mustardtrail::config
{

/// Compares with tests/golden/NAME of this module.
inline void expectGolden(const std::string &name, const std::string &text)
{
    testing::expectGolden(std::string(MT_CONFIG_TEST_DIR) + "/golden/" + name, text);
}

} // namespace mustardtrail::config
