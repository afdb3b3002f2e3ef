#include "config/internal/canonical_json.h"

#include <algorithm>
#include <vector>

#include <boost/json/serialize.hpp>

namespace mustardtrail::config
{

namespace
{

void write(std::string &out, const boost::json::value &value);

void writeObject(std::string &out, const boost::json::object &object)
{
    std::vector<const boost::json::key_value_pair *> members;
    members.reserve(object.size());
    for (const boost::json::key_value_pair &member : object) {
        members.push_back(&member);
    }
    std::sort(members.begin(), members.end(), [](const auto *left, const auto *right) {
        return left->key() < right->key();
    });
    out += '{';
    for (const boost::json::key_value_pair *member : members) {
        if (member != members.front()) {
            out += ',';
        }
        out += boost::json::serialize(member->key());
        out += ':';
        write(out, member->value());
    }
    out += '}';
}

void writeArray(std::string &out, const boost::json::array &array)
{
    out += '[';
    bool first = true;
    for (const boost::json::value &element : array) {
        if (!first) {
            out += ',';
        }
        first = false;
        write(out, element);
    }
    out += ']';
}

void write(std::string &out, const boost::json::value &value)
{
    if (value.is_object()) {
        writeObject(out, value.get_object());
        return;
    }
    if (value.is_array()) {
        writeArray(out, value.get_array());
        return;
    }
    out += boost::json::serialize(value);
}

} // namespace

std::string canonicalText(const boost::json::object &object)
{
    std::string text;
    writeObject(text, object);
    return text;
}

} // namespace mustardtrail::config
