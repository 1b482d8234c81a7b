#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <utility>

namespace limpetstack
{

/// An immutable byte string whose copies share their memory.
class shared_bytes
{
public:
    shared_bytes() = default;
    shared_bytes(std::string bytes)
        : bytes_(std::make_shared<const std::string>(std::move(bytes)))
    {
    }
    shared_bytes(const char* text)
        : shared_bytes(std::string(text))
    {
    }

    const std::string& str() const
    {
        static const std::string none;
        return bytes_ ? *bytes_ : none;
    }
    operator const std::string&() const { return str(); }
    bool empty() const { return str().empty(); }
    std::size_t size() const { return str().size(); }

private:
    std::shared_ptr<const std::string> bytes_;
};

inline bool operator==(const shared_bytes& a, const shared_bytes& b)
{
    return a.str() == b.str();
}

inline bool operator!=(const shared_bytes& a, const shared_bytes& b)
{
    return !(a == b);
}

} // namespace limpetstack
