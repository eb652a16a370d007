#include "goldcrestwell/shell/version.hpp"

#include <iostream>

int main() {
    std::cout << "goldcrestwell " << goldcrestwell::program_version() << '\n';
    return 0;
}
