#include "cli/command_line.h"

int main(int argc, char **argv)
{
    return carawaypoint::runCommandLine(argc, argv);
}
