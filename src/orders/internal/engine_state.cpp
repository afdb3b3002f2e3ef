#include "orders/engine_state.h"

#include <algorithm>

namespace mustardtrail::orders
{

bool engine_state::serves(const model_id &model) const
{
    return std::any_of(models.begin(), models.end(), [&](const loaded_model &loaded) {
        return loaded.model == model;
    });
}

} // namespace mustardtrail::orders
