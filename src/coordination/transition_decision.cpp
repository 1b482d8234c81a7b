#include "coordination/transition_decision.hpp"

#include "state/request_id.hpp"
#include "state/request_phase.hpp"

namespace limpetstack
{
namespace
{

transition_decision refuse(std::string reason)
{
    return {transition_kind::refuse, {}, std::move(reason)};
}

transition_decision decide_known(const wire::request_record& asked,
                                 const wire::request_record& current)
{
    if (differs_in_body(current, asked))
    {
        // The answer belongs to another request.
        wire::request_record shown = current;
        shown.clear_answer();
        return {transition_kind::answer, shown,
                "the id was used with another body"};
    }
    if (transition_allowed(current.phase(), asked.phase()))
    {
        return {transition_kind::write, merged(current, asked), ""};
    }
    return {transition_kind::answer, current, ""};
}

transition_decision decide_absent(const wire::request_record& asked,
                                  std::int64_t issued_ms, const id_rules& rules)
{
    if (issued_ms < rules.requests_before_ms)
    {
        return refuse("the id is older than the journal's retention");
    }
    if (issued_ms > rules.latest_issue_ms)
    {
        return refuse("the id's issue time is in the future");
    }
    if (!transition_allowed(wire::request_absent, asked.phase()))
    {
        wire::request_record absent;
        absent.set_id(asked.id());
        return {transition_kind::confirm_absent, absent, ""};
    }
    if (rules.full)
    {
        return refuse("the journal holds too many requests");
    }
    return {transition_kind::write, asked, ""};
}

} // namespace

transition_decision
decide_transition(const wire::request_record& asked,
                  const std::optional<wire::request_record>& current,
                  const id_rules& rules)
{
    const auto id = parse_request_id(asked.id());
    if (!id.ok())
    {
        return refuse(std::string(id.status().message()));
    }
    if (id->data_centre != rules.data_centre)
    {
        return refuse("the id belongs to another data centre");
    }
    if (id->incarnation != rules.incarnation)
    {
        return refuse("the id belongs to a lost journal");
    }
    return current ? decide_known(asked, *current)
                   : decide_absent(asked, id->issued_ms, rules);
}

} // namespace limpetstack
