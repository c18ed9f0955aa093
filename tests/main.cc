// Entry point of the test program.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
