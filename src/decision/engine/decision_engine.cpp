#include "gateway/decision_engine.h"

#include <stdexcept>
#include <utility>

#include "decision/engine/decision_engine_impl.h"

namespace gateway {

DecisionEngine::DecisionEngine(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
DecisionEngine::~DecisionEngine() = default;
DecisionEngine::DecisionEngine(DecisionEngine&&) noexcept = default;
DecisionEngine& DecisionEngine::operator=(DecisionEngine&&) noexcept = default;

void DecisionEngine::handle(TimePoint now, const Event& event, Actions& actions) {
    impl_->handle(now, event, actions);
}

}  // namespace gateway
