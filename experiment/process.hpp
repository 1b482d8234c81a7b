#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace limpetstack::test
{

/// A child process. Its destruction kills and reaps it.
class process
{
public:
    /// Starts `program` with `arguments`; its output goes to the file `log`.
    process(const std::string& program, std::vector<std::string> arguments,
            const std::string& log);
    ~process();
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    pid_t pid() const { return pid_; }
    bool running();

    /// Sends a signal; no effect after the process has ended.
    void signal(int number);

    /// Kills the process and waits for its end.
    void kill();

    /// Waits for the end and returns the exit code, or 128 plus the signal.
    int wait();

private:
    pid_t pid_ = 0;
    bool ended_ = false;
    int code_ = 0;
};

/// Returns a TCP port of 127.0.0.1 that is free now. Ports come from a range
/// below the system's ephemeral ports, so that an outgoing connection does not
/// take one before its listener opens.
int free_port();

/// Returns the folder of the built programs, from LIMPETSTACK_BIN.
std::string program_folder();

} // namespace limpetstack::test
