// Limits the memory that messages take in this process.
#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace gateway::net {

// Counts the bytes that its charges take. It does not enforce the limit: whoever takes memory checks
// isExceeded() and sheds load.
class MemoryBudget {
public:
    explicit MemoryBudget(std::size_t limitBytes) : limitBytes_(limitBytes) {}

    bool isExceeded() const { return usedBytes_ > limitBytes_; }
    std::size_t usedBytes() const { return usedBytes_; }

private:
    friend class MemoryCharge;

    std::size_t limitBytes_;
    std::size_t usedBytes_ = 0;
};

// The bytes that one owner takes from a budget. Returns them when it is destroyed.
class MemoryCharge {
public:
    // Charges no budget.
    MemoryCharge() = default;
    explicit MemoryCharge(std::shared_ptr<MemoryBudget> budget) : budget_(std::move(budget)) {}
    MemoryCharge(const MemoryCharge&) = delete;
    MemoryCharge& operator=(const MemoryCharge&) = delete;
    MemoryCharge(MemoryCharge&& other) noexcept
        : budget_(std::move(other.budget_)), bytes_(std::exchange(other.bytes_, 0)) {}
    MemoryCharge& operator=(MemoryCharge&& other) noexcept {
        std::swap(budget_, other.budget_);
        std::swap(bytes_, other.bytes_);
        return *this;
    }
    ~MemoryCharge() { set(0); }

    std::size_t bytes() const { return bytes_; }

    // Replaces the number of bytes that the owner takes.
    void set(std::size_t bytes) {
        if (!budget_) return;
        budget_->usedBytes_ = budget_->usedBytes_ - bytes_ + bytes;
        bytes_ = bytes;
    }

private:
    std::shared_ptr<MemoryBudget> budget_;
    std::size_t bytes_ = 0;
};

// Memory that each connection may take without charging a budget, so that small messages are handled even if
// large ones have used the budget up.
constexpr std::size_t kUnchargedBytesPerConnection = 8UL * 1024;

// Returns what a connection that takes `bytes` charges.
constexpr std::size_t chargeableBytes(std::size_t bytes) {
    return bytes > kUnchargedBytesPerConnection ? bytes - kUnchargedBytesPerConnection : 0;
}

}  // namespace gateway::net
