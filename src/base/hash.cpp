#include "base/hash.hpp"

#include <openssl/evp.h>
#include <openssl/rand.h>

#include <boost/crc.hpp>

#include <array>
#include <cstdlib>
#include <vector>

namespace limpetstack
{
namespace
{

std::array<unsigned char, 32> sha256(std::string_view data)
{
    std::array<unsigned char, 32> digest{};
    unsigned int size = 0;
    EVP_Digest(data.data(), data.size(), digest.data(), &size, EVP_sha256(),
               nullptr);
    return digest;
}

std::string to_hex(const unsigned char* data, std::size_t size)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string out;
    out.reserve(2 * size);
    for (std::size_t i = 0; i < size; ++i)
    {
        out += digits[data[i] >> 4U];
        out += digits[data[i] & 15U];
    }
    return out;
}

} // namespace

std::string sha256_hex(std::string_view data)
{
    const auto digest = sha256(data);
    return to_hex(digest.data(), digest.size());
}

std::uint32_t crc32c(std::string_view data)
{
    return crc32c({data});
}

std::uint32_t crc32c(std::initializer_list<std::string_view> pieces)
{
    boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true> crc;
    for (const auto piece : pieces)
    {
        crc.process_bytes(piece.data(), piece.size());
    }
    return crc.checksum();
}

std::uint64_t stable_hash(std::string_view data)
{
    const auto digest = sha256(data);
    std::uint64_t value = 0;
    for (int i = 0; i < 8; ++i)
    {
        value = (value << 8U) | digest[static_cast<std::size_t>(i)];
    }
    return value;
}

std::string random_hex(int bytes)
{
    std::vector<unsigned char> buffer(static_cast<std::size_t>(bytes));
    if (RAND_bytes(buffer.data(), bytes) != 1)
    {
        // Identities must not repeat; without entropy the process can not go
        // on.
        std::abort();
    }
    return to_hex(buffer.data(), buffer.size());
}

} // namespace limpetstack
