#include "coordination/stored_config.hpp"

#include "peer.pb.h"

#include <gtest/gtest.h>

namespace limpetstack
{
namespace
{

// Guards against damage that is read as another configuration: every cut and
// every changed byte must be seen.
TEST(stored_config, damage_is_found)
{
    wire::config_response config;
    config.set_version(7);
    config.set_document("fleet: []");
    const auto content = encode_stored_config(config);
    const auto decoded = decode_stored_config(content);
    ASSERT_TRUE(decoded.ok());
    EXPECT_EQ(decoded->SerializeAsString(), config.SerializeAsString());
    for (std::size_t i = 0; i < content.size(); ++i)
    {
        EXPECT_FALSE(decode_stored_config(content.substr(0, i)).ok()) << i;
        auto changed = content;
        changed[i] = static_cast<char>(changed[i] ^ 4);
        EXPECT_FALSE(decode_stored_config(changed).ok()) << i;
    }
}

} // namespace
} // namespace limpetstack
