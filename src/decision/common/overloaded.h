// Combines lambdas into one visitor for std::visit.
#pragma once

namespace gateway {

// Calls the callable whose parameter type matches the argument.
template <class... Callables>
struct Overloaded : Callables... {
    using Callables::operator()...;
};

template <class... Callables>
Overloaded(Callables...) -> Overloaded<Callables...>;

}  // namespace gateway
