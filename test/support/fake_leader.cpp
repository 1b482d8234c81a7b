#include "support/fake_leader.hpp"

#include "experiment/process.hpp"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace limpetstack::fleet
{

fake_leader::fake_leader(boost::asio::io_context& io)
    : address_("127.0.0.1:" + std::to_string(test::free_port()))
    , listener_(io,
                [this](const connection& from, const peer_frame& frame)
                {
                    on_frame(from, frame);
                })
{
    if (!listener_.listen(address_))
    {
        throw std::runtime_error("can not listen on " + address_);
    }
}

void fake_leader::lead(std::uint64_t term)
{
    leads_ = term > 0;
    term_ = std::max(term_, term);
    for (const auto& item : connections_)
    {
        send_status(*item);
    }
}

void fake_leader::answer(std::size_t index, forwarded_answer answer)
{
    peer_frame frame;
    *frame.mutable_answer() = std::move(answer);
    frame.mutable_answer()->set_id(calls_.at(index).id());
    call_connections_.at(index)->send(frame);
}

void fake_leader::disconnect()
{
    for (const auto& item : std::exchange(connections_, {}))
    {
        item->close();
    }
}

void fake_leader::on_frame(const connection& from, const peer_frame& frame)
{
    if (std::find(connections_.begin(), connections_.end(), from) ==
        connections_.end())
    {
        connections_.push_back(from);
    }
    if (silent_)
    {
        return;
    }
    if (frame.has_ping())
    {
        send_status(*from);
    }
    else if (frame.has_call())
    {
        calls_.push_back(frame.call());
        call_connections_.push_back(from);
    }
}

void fake_leader::send_status(frame_connection& to) const
{
    peer_frame frame;
    auto& status = *frame.mutable_status();
    status.set_term(term_);
    status.set_confirmed_leader(leads_);
    status.set_document_version(1);
    status.set_max_header_bytes(16384);
    status.set_max_body_bytes(1U << 20U);
    status.set_header_timeout_ms(3000);
    status.set_idle_timeout_ms(15000);
    to.send(frame);
}

} // namespace limpetstack::fleet
