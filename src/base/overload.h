// Combines several lambdas into one visitor for std::visit.
#ifndef BASE_OVERLOAD_H_
#define BASE_OVERLOAD_H_

namespace verbenastile {

template <typename... Visitors>
struct Overload : Visitors... {
  using Visitors::operator()...;
};
template <typename... Visitors>
Overload(Visitors...) -> Overload<Visitors...>;

}  // namespace verbenastile

#endif  // BASE_OVERLOAD_H_
