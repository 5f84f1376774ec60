// Catch2's own main function, compiled once.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
