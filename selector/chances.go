package selector

import "github.com/samber/lo"

// chanceSteps is the number of steps in which Chances integrates; its error is far below what operators are shown.
const chanceSteps = 256

// Chances returns the probability of each cost to be the least once a random number below spread, which is positive, is added to each.
func Chances(costs []float64, spread float64) []float64 {
	chances := make([]float64, len(costs))
	least := lo.Min(costs)
	for step := range chanceSteps {
		sum := least + (float64(step)+0.5)/chanceSteps*spread
		for i, cost := range costs {
			if sum >= cost {
				chances[i] += othersAbove(costs, i, sum, spread)
			}
		}
	}
	total := lo.Sum(chances)
	return lo.Map(chances, func(chance float64, _ int) float64 { return chance / total })
}

// othersAbove returns the probability that the sums of all costs but one exceed a sum.
func othersAbove(costs []float64, one int, sum, spread float64) float64 {
	probability := 1.0
	for i, cost := range costs {
		if i != one {
			probability *= min(max((cost+spread-sum)/spread, 0), 1)
		}
	}
	return probability
}
