/** The home of a program: order, budget, dispatch, takeover and release. */
export {}
