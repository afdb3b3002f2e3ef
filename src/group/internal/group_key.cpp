#include "group/group_key.h"

namespace mustardtrail::group
{

engine_group_id engineGroupOf(const group_key &key)
{
    return engine_group_id(key.group.str() + "." + std::to_string(key.generation));
}

} // namespace mustardtrail::group
