#pragma once

#include "transport/frame_link.hpp"

#include "fleet.pb.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace limpetstack::fleet
{

/// A core host of a test of entry hosts. It listens for connections of entry
/// hosts and keeps their calls; the test answers them.
class fake_leader
{
public:
    explicit fake_leader(boost::asio::io_context& io);

    const std::string& address() const { return address_; }

    /// The calls that have arrived, oldest first.
    const std::vector<forwarded_call>& calls() const { return calls_; }

    /// Leads in the term and tells the connected hosts. Term 0 ends it.
    void lead(std::uint64_t term);

    /// Answers the call that arrived at `index`, on the connection that it came
    /// on.
    void answer(std::size_t index, forwarded_answer answer);

    /// Reads and says nothing from now on.
    void fall_silent() { silent_ = true; }

    /// Closes the connections of all hosts.
    void disconnect();

private:
    using connection = std::shared_ptr<frame_connection>;
    void on_frame(const connection& from, const peer_frame& frame);
    void send_status(frame_connection& to) const;

    std::string address_;
    frame_listener listener_;
    std::uint64_t term_ = 0;
    bool leads_ = false;
    bool silent_ = false;
    std::vector<connection> connections_;
    std::vector<forwarded_call> calls_;
    std::vector<connection> call_connections_; // As in `calls_`.
};

} // namespace limpetstack::fleet
