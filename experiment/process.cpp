#include "experiment/process.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <spawn.h>
#include <sys/file.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <random>
#include <set>
#include <stdexcept>
#include <thread>

extern char** environ;

namespace limpetstack::test
{

process::process(const std::string& program, std::vector<std::string> arguments,
                 const std::string& log)
{
    arguments.insert(arguments.begin(), program);
    std::vector<char*> argv;
    argv.reserve(arguments.size() + 1);
    for (auto& argument : arguments)
    {
        argv.push_back(argument.data());
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, log.c_str(),
                                     O_CREAT | O_WRONLY | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    const int failed = posix_spawn(&pid_, program.c_str(), &actions, nullptr,
                                   argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0)
    {
        throw std::runtime_error("can not start " + program);
    }
}

process::~process()
{
    kill();
}

bool process::running()
{
    if (ended_)
    {
        return false;
    }
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) == 0)
    {
        return true;
    }
    ended_ = true;
    code_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    return false;
}

void process::signal(int number)
{
    if (running())
    {
        ::kill(pid_, number);
    }
}

void process::kill()
{
    signal(SIGKILL);
    wait();
}

int process::wait()
{
    if (!ended_)
    {
        int status = 0;
        ::waitpid(pid_, &status, 0);
        ended_ = true;
        code_ =
            WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    }
    return code_;
}

namespace
{

bool can_bind(int port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool bound = ::bind(socket, reinterpret_cast<sockaddr*>(&address),
                              sizeof address) == 0;
    ::close(socket);
    return bound;
}

// Reserves the port for this process until it ends. Other processes that choose
// ports see the reservation before the port is bound. Servers here share a
// bound port, so that a port given twice would not show as an error.
bool reserve(int port)
{
    const auto folder = std::filesystem::temp_directory_path() /
                        ("limpetstack-ports-" + std::to_string(::getuid()));
    std::filesystem::create_directories(folder);
    const auto file = folder / std::to_string(port);
    const int lock =
        ::open(file.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, S_IRUSR | S_IWUSR);
    if (lock < 0)
    {
        throw std::runtime_error("can not open " + file.string());
    }
    if (::flock(lock, LOCK_EX | LOCK_NB) != 0)
    {
        ::close(lock);
        return false;
    }
    return true; // The descriptor stays open and holds the lock.
}

} // namespace

int free_port()
{
    static constexpr int first = 10000;
    static constexpr int last = 32000; // Ephemeral ports begin at 32768.
    // Several test programs choose ports at the same time, hence the seed.
    static std::mt19937 random(std::random_device{}());
    static std::set<int> given;
    std::uniform_int_distribution<int> any(first, last);
    for (;;)
    {
        const int port = any(random);
        if (given.insert(port).second && can_bind(port) && reserve(port))
        {
            return port;
        }
    }
}

std::string program_folder()
{
    const char* folder = std::getenv("LIMPETSTACK_BIN");
    if (folder == nullptr)
    {
        throw std::runtime_error(
            "LIMPETSTACK_BIN must name the build folder; run through ctest");
    }
    return folder;
}

} // namespace limpetstack::test
