#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <vector>

namespace limpetstack::wire
{
class journal_append;
class journal_append_response;
class journal_record;
} // namespace limpetstack::wire

namespace limpetstack
{

class journal;

/// The receiving side of one data centre's journal: the recorded copy, or a
/// candidate for it. Calls must not overlap, and no other writer may use the
/// journal meanwhile.
class journal_copy
{
public:
    journal_copy(journal& target, std::string data_centre);
    ~journal_copy();

    /// Takes records or a part of a full copy. Nothing of a message is accepted
    /// before it is synced. `known_epoch` is that of the newest owner record
    /// known here, `known_owner` its owner.
    wire::journal_append_response receive(const wire::journal_append& message,
                                          std::uint64_t known_epoch,
                                          const std::string& known_owner);

    /// Returns the epoch under which a full copy was made for joining as the
    /// copy, 0 for none.
    std::uint64_t candidate_epoch() const { return candidate_epoch_; }

private:
    std::string refusal(const wire::journal_append& message,
                        std::uint64_t known_epoch,
                        const std::string& known_owner) const;
    std::string take_records(const wire::journal_append& message);
    std::string take_part(const wire::journal_append& message);
    std::string install(const wire::journal_append& message);

    journal& journal_;
    std::string data_centre_;
    std::atomic<std::uint64_t> candidate_epoch_{0}; // Read by any thread.

    // Parts of a full copy that is not whole yet.
    std::uint64_t copy_id_ = 0;
    std::uint32_t next_part_ = 0;
    std::vector<wire::journal_record> parts_;
};

} // namespace limpetstack
