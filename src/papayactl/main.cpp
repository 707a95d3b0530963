// papayactl: the operator's command line.

#include "operator_tool.hpp"

#include <iostream>

namespace papayabridge {

namespace {

void print_usage(std::ostream& out)
{
    out << "usage: papayactl COMMAND [OPTIONS]\n\n";
    for (const auto& command : operator_commands()) {
        out << "  " << command.name << std::string(10 - command.name.size(), ' ')
            << command.brief << "\n";
    }
    out << "\npapayactl COMMAND --help lists the options of a command.\n";
}

exit_code run(int argc, char** argv)
{
    std::string_view name = argc > 1 ? argv[1] : "";
    if (name == "--help" || name == "-h") {
        print_usage(std::cout);
        return exit_code::success;
    }
    if (name == "--version") {
        std::cout << "papayactl " << PAPAYABRIDGE_VERSION << "\n";
        return exit_code::success;
    }
    for (const auto& command : operator_commands()) {
        if (command.name == name) {
            operator_tool tool(argc - 1, argv + 1);
            return (tool.*command.run)();
        }
    }
    print_usage(std::cerr);
    return exit_code::usage;
}

} // namespace

} // namespace papayabridge

int main(int argc, char** argv)
{
    return static_cast<int>(papayabridge::run(argc, argv));
}
