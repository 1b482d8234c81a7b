#include "record.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <fstream>
#include <sstream>
#include <utility>

namespace review
{

using nlohmann::json;

std::int64_t steady_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

record::record(std::string file, std::string who)
    : file_(std::move(file))
    , who_(std::move(who))
    , descriptor_(::open(file_.c_str(),
                         O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0644))
{
}

record::~record()
{
    ::close(descriptor_);
}

void record::write(const std::string& what, const json& fields)
{
    json line{{"at_ms", steady_ms()}, {"who", who_}, {"what", what}};
    if (fields.is_object())
    {
        line.update(fields);
    }
    const auto text = line.dump() + "\n";
    const auto written = ::write(descriptor_, text.data(), text.size());
    static_cast<void>(written);
}

std::vector<json> record::read(std::size_t& offset) const
{
    std::ifstream file(file_);
    file.seekg(static_cast<std::streamoff>(offset));
    std::stringstream rest;
    rest << file.rdbuf();
    const auto text = rest.str();
    std::vector<json> lines;
    std::size_t begin = 0;
    for (auto end = text.find('\n'); end != std::string::npos;
         end = text.find('\n', begin))
    {
        auto line =
            json::parse(text.substr(begin, end - begin), nullptr, false);
        if (line.is_object())
        {
            lines.push_back(std::move(line));
        }
        begin = end + 1;
    }
    offset += begin;
    return lines;
}

} // namespace review
