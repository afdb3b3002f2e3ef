#pragma once

#include "config/internal/json_reader.h"

#include <optional>
#include <string>
#include <vector>

#include <boost/json/error.hpp>
#include <boost/json/string_view.hpp>

namespace mustardtrail::config
{

/// Handler of the JSON parser that finds names given twice in one object, which the value parser would drop silently.
class name_scan
{
public:
    const std::optional<json_failure> &failure() const;

    // The names below are those that the parser uses.
    // NOLINTBEGIN(readability-identifier-naming)
    static constexpr size_t max_object_size = static_cast<size_t>(-1);
    static constexpr size_t max_array_size = static_cast<size_t>(-1);
    static constexpr size_t max_key_size = static_cast<size_t>(-1);
    static constexpr size_t max_string_size = static_cast<size_t>(-1);

    using failure_code = boost::json::error_code;
    using text = boost::json::string_view;

    bool on_document_begin(failure_code &)
    {
        return true;
    }
    bool on_document_end(failure_code &)
    {
        return true;
    }
    bool on_array_begin(failure_code &);
    bool on_array_end(size_t, failure_code &);
    bool on_object_begin(failure_code &);
    bool on_object_end(size_t, failure_code &);
    bool on_key_part(text part, size_t, failure_code &);
    bool on_key(text part, size_t, failure_code &code);
    bool on_string_part(text, size_t, failure_code &)
    {
        return true;
    }
    bool on_string(text, size_t, failure_code &)
    {
        return valueEnded();
    }
    bool on_number_part(text, failure_code &)
    {
        return true;
    }
    bool on_int64(std::int64_t, text, failure_code &)
    {
        return valueEnded();
    }
    bool on_uint64(std::uint64_t, text, failure_code &)
    {
        return valueEnded();
    }
    bool on_double(double, text, failure_code &)
    {
        return valueEnded();
    }
    bool on_bool(bool, failure_code &)
    {
        return valueEnded();
    }
    bool on_null(failure_code &)
    {
        return valueEnded();
    }
    bool on_comment_part(text, failure_code &)
    {
        return true;
    }
    bool on_comment(text, failure_code &)
    {
        return true;
    }
    // NOLINTEND(readability-identifier-naming)

private:
    struct frame {
        bool isObject = false;
        size_t index = 0; ///< Arrays: values read so far.
        size_t nameCount = 0; ///< Objects: names read so far.
        std::vector<std::string> names; ///< Kept between uses, to save allocations.
    };

    bool open(bool isObject);
    bool close();
    bool valueEnded();
    bool fail(error_code code, std::string given, std::string allowed, failure_code &stop);
    std::string path() const;

    std::vector<frame> m_frames;
    size_t m_depth = 0;
    std::string m_name;
    std::optional<json_failure> m_failure;
};

} // namespace mustardtrail::config
