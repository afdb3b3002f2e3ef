#pragma once

#include <optional>
#include <string>
#include <vector>

namespace mustardtrail::proof
{

/// One command line of an operators' page.
struct page_command {
    std::string page; ///< File name.
    std::string line; ///< Without prompt and comment.
    std::optional<std::string> shownOutput; ///< What a console block shows after it.
    std::optional<int> shownExit;
};

/// Command lines in the page's code blocks, and code spans that begin with a program's name and go on.
std::vector<page_command> commandsOf(const std::string &page, const std::string &text);

} // namespace mustardtrail::proof
