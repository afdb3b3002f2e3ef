#pragma once

#include <string>

namespace mustardtrail::config
{

/// Fails the test unless the text is what the golden file holds. With MT_REGENERATE_GOLDEN=1 the file is written instead.
void expectGolden(const std::string &name, const std::string &text);

} // namespace mustardtrail::config
