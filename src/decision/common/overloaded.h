// A visitor for std::visit that is made of lambdas.
#pragma once

namespace gateway {

// Calls the operator() of the callable whose parameter matches.
template <class... Callables>
struct Overloaded : Callables... {
    using Callables::operator()...;
};

template <class... Callables>
Overloaded(Callables...) -> Overloaded<Callables...>;

}  // namespace gateway
