#pragma once

namespace httplib
{
class Server;
}

namespace limpetstack
{

struct operator_handlers;

/// Adds the console of forms at /console. A form is stateless: each page
/// carries all that was entered. `handlers` must outlive the server.
void add_console(httplib::Server& server, const operator_handlers& handlers);

} // namespace limpetstack
