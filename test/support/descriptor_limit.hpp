#pragma once

#include <sys/resource.h>

namespace limpetstack::test
{

/// Lowers the soft limit of descriptors until it is destroyed, so that a
/// process that is started meanwhile inherits it.
class descriptor_limit
{
public:
    explicit descriptor_limit(rlim_t count)
    {
        ::getrlimit(RLIMIT_NOFILE, &previous_);
        const rlimit lowered{count, previous_.rlim_max};
        ::setrlimit(RLIMIT_NOFILE, &lowered);
    }
    ~descriptor_limit() { ::setrlimit(RLIMIT_NOFILE, &previous_); }
    descriptor_limit(const descriptor_limit&) = delete;
    descriptor_limit& operator=(const descriptor_limit&) = delete;

private:
    rlimit previous_{};
};

} // namespace limpetstack::test
