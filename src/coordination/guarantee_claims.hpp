#pragma once

#include "coordination/guarantee.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace limpetstack
{

/// Which running gangs are inside their account's guarantee. A gang claims
/// members of one guaranteed gang; several small gangs can share one. The
/// claim is made when the gang starts, or later when there is room for it
/// beside what is still guaranteed to the others.
class guarantee_claims
{
public:
    /// Takes the guarantees of one data centre. Claims that still fit stay;
    /// returns the ids of gangs that are no longer inside a guarantee.
    std::vector<std::string> configure(const document& source,
                                       const std::string& data_centre);

    /// Returns true when the account's guarantee would cover the job if
    /// nothing else ran.
    bool coverable(const std::string& account, const gang_shape& job) const;

    /// Claims the smallest guaranteed gang that still has enough unclaimed
    /// members. Returns false when there is none.
    bool claim(const std::string& id, const std::string& account,
               const gang_shape& job);
    void release(const std::string& id);
    bool holds(const std::string& id) const;

    /// Returns true when some member of the account's guarantees is unclaimed.
    bool has_unclaimed(const std::string& account) const;

    /// Returns what must still find room beside the claims: the unclaimed
    /// members of every guaranteed gang.
    std::vector<shape_demand> unclaimed() const;

private:
    struct guaranteed_gang
    {
        gang_shape shape;
        std::uint32_t claimed = 0; // Members.
    };

    struct claim_record
    {
        std::string account;
        std::size_t gang = 0; // Position in the account's list.
        gang_shape job;
    };

    std::map<std::string, std::vector<guaranteed_gang>> gangs_;
    std::map<std::string, claim_record> claims_;
};

} // namespace limpetstack
