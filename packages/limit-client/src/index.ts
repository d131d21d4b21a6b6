/** Client limits handed out in shares, and retry budgets. */
export {}
