#include "cost/least_squares.h"

#include <cmath>
#include <cstddef>
#include <utility>

namespace burdockshelf
{

namespace
{

constexpr double leastPivot = 1e-12;

using matrix = std::vector<std::vector<double>>;

// Gauss-Jordan elimination with row exchange.
std::vector<double> solve(matrix rows)
{
    const std::size_t count = rows.size();
    for (std::size_t column = 0; column < count; ++column) {
        std::size_t best = column;
        for (std::size_t row = column + 1; row < count; ++row) {
            best = std::abs(rows[row][column]) > std::abs(rows[best][column]) ? row : best;
        }
        std::swap(rows[column], rows[best]);
        if (std::abs(rows[column][column]) < leastPivot) {
            return {};
        }
        for (std::size_t row = 0; row < count; ++row) {
            const double factor = row == column ? 0 : rows[row][column] / rows[column][column];
            for (std::size_t i = column; i <= count; ++i) {
                rows[row][i] -= factor * rows[column][i];
            }
        }
    }
    std::vector<double> result;
    for (std::size_t row = 0; row < count; ++row) {
        result.push_back(rows[row][count] / rows[row][row]);
    }
    return result;
}

} // namespace

std::vector<double> fitSlopes(const std::vector<sample> &samples)
{
    const std::size_t count = samples.empty() ? 0 : samples.front().sizes.size() + 1;
    matrix normal(count, std::vector<double>(count + 1, 0));
    for (const sample &one : samples) {
        std::vector<double> terms = {1};
        terms.insert(terms.end(), one.sizes.begin(), one.sizes.end());
        for (std::size_t row = 0; row < count; ++row) {
            for (std::size_t column = 0; column < count; ++column) {
                normal[row][column] += terms[row] * terms[column];
            }
            normal[row][count] += terms[row] * one.value;
        }
    }
    return solve(std::move(normal));
}

} // namespace burdockshelf
