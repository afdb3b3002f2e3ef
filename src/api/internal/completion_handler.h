#pragma once

#include "api/completion_fields.h"

#include <boost/json/basic_parser.hpp>
#include <boost/json/string_view.hpp>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace mustardtrail::api
{

/// Receives the parts of a completion body as the JSON parser meets them.
/// Names of the parser's callbacks are given by Boost.JSON.
class completion_handler
{
public:
    static constexpr std::size_t max_object_size = static_cast<std::size_t>(-1); // NOLINT(readability-identifier-naming)
    static constexpr std::size_t max_array_size = static_cast<std::size_t>(-1); // NOLINT(readability-identifier-naming)
    static constexpr std::size_t max_key_size = 1024; // NOLINT(readability-identifier-naming)
    static constexpr std::size_t max_string_size = static_cast<std::size_t>(-1); // NOLINT(readability-identifier-naming)

    using error_code = boost::json::error_code;
    using string_view = boost::json::string_view;

    explicit completion_handler(completion_kind kind)
    {
        fields.kind = kind;
    }

    // clang-format off
    bool on_document_begin(error_code &) { return true; } // NOLINT(readability-identifier-naming)
    bool on_document_end(error_code &) { return true; } // NOLINT(readability-identifier-naming)
    bool on_array_begin(error_code &); // NOLINT(readability-identifier-naming)
    bool on_array_end(std::size_t, error_code &); // NOLINT(readability-identifier-naming)
    bool on_object_begin(error_code &); // NOLINT(readability-identifier-naming)
    bool on_object_end(std::size_t, error_code &); // NOLINT(readability-identifier-naming)
    bool on_string_part(string_view text, std::size_t, error_code &failure); // NOLINT(readability-identifier-naming)
    bool on_string(string_view text, std::size_t total, error_code &failure); // NOLINT(readability-identifier-naming)
    bool on_key_part(string_view text, std::size_t, error_code &); // NOLINT(readability-identifier-naming)
    bool on_key(string_view text, std::size_t, error_code &failure); // NOLINT(readability-identifier-naming)
    bool on_number_part(string_view, error_code &) { return true; } // NOLINT(readability-identifier-naming)
    bool on_int64(std::int64_t number, string_view, error_code &failure); // NOLINT(readability-identifier-naming)
    bool on_uint64(std::uint64_t, string_view, error_code &failure); // NOLINT(readability-identifier-naming)
    bool on_double(double, string_view, error_code &failure); // NOLINT(readability-identifier-naming)
    bool on_bool(bool value, error_code &failure); // NOLINT(readability-identifier-naming)
    bool on_null(error_code &) { return true; } // NOLINT(readability-identifier-naming)
    bool on_comment_part(string_view, error_code &) { return true; } // NOLINT(readability-identifier-naming)
    bool on_comment(string_view, error_code &) { return true; } // NOLINT(readability-identifier-naming)
    // clang-format on

    completion_fields fields;
    std::string badField; ///< Name of the field at fault.
    std::function<void(std::string_view)> takePrompt; ///< Receives the prompt piece by piece.
    size_t promptBytes = 0;
    token_count promptTokenIds = 0; ///< Token ids given in place of text.
    bool sawPrompt = false;
    std::string leadingBlock;

private:
    bool isPromptText() const;
    bool fail(error_code &failure, std::string_view field);
    void takePromptText(string_view text);

    std::vector<std::string> m_path; ///< Keys of the open objects; "[]" for an open array.
    std::string m_key;
    std::string m_text;
    std::vector<std::string> m_seen; ///< Top-level keys met.
    int m_promptStrings = 0;
};

} // namespace mustardtrail::api
